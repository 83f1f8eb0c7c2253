/**
 * Formats rows of cells as aligned columns.
 *
 * @param rows - cells of each row, usually with the column headings as the first row
 * @returns one line of text per row, separated by line feeds
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
