/**
 * Divides an amount by max-min fairness: nobody gets more than it wants, and what one does not want is
 * divided among the others.
 *
 * @param total - amount to divide
 * @param wants - what each one wants
 * @returns the part of each one, in the order of the wants
 */
export const divideFairly = (total: number, wants: readonly number[]): readonly number[] => {
  const parts = wants.map(() => 0);
  const order = wants.map((_, index) => index);
  order.sort((left, right) => (wants[left] ?? 0) - (wants[right] ?? 0));
  let left = total;
  order.forEach((index, position) => {
    const part = Math.min(wants[index] ?? 0, left / (order.length - position));
    parts[index] = part;
    left -= part;
  });
  return parts;
};
