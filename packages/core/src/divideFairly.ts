/**
 * Divides an amount by max-min fairness: no participant gets more than it demands, and the unused remainder is
 * divided among the others.
 *
 * @param total - amount to divide
 * @param demands - demand of each participant
 * @returns the part of each participant, in the order of the demands
 */
export const divideFairly = (total: number, demands: readonly number[]): readonly number[] => {
  const parts = demands.map(() => 0);
  const order = demands.map((_, index) => index);
  order.sort((left, right) => (demands[left] ?? 0) - (demands[right] ?? 0));
  let remaining = total;
  order.forEach((index, position) => {
    const part = Math.min(demands[index] ?? 0, remaining / (order.length - position));
    parts[index] = part;
    remaining -= part;
  });
  return parts;
};
