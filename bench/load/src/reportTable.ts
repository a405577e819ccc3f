/** Table of a report. */
export interface ReportTable {
    kind: "table";
    title: string;
    /** Column headers, shape [columns]. */
    columns: string[];
    /** Cells, shape [rows, columns]. */
    rows: (string | number)[][];
}
