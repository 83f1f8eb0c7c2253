/**
 * Formats rows as columns.
 *
 * @param rows - the cells, the first row being the heading
 * @returns lines of text
 */
export const formatTable = (rows: readonly (readonly string[])[]): string => {
  const widths: number[] = [];
  for (const row of rows) {
    for (const [index, cell] of row.entries()) {
      widths[index] = Math.max(widths[index] ?? 0, cell.length);
    }
  }
  const lines = rows.map((row) => row.map((cell, index) => cell.padEnd(widths[index] ?? 0)));
  return lines.map((cells) => cells.join('  ').trimEnd()).join('\n');
};
