const COLUMN_GAP = "  ";

/**
 * Formats rows as a table with aligned columns.
 *
 * @param rows cells, shape [rows][columns]
 */
export function formatTable(header: string[], rows: unknown[][]): string {
    const cells = [header, ...rows.map(row => row.map(cell => String(cell ?? "-")))];
    const widths = header.map((_, column) => Math.max(...cells.map(row => row[column]?.length ?? 0)));
    return cells
        .map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(COLUMN_GAP).trimEnd())
        .join("\n");
}
