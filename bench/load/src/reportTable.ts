/** A table of a report. */
export interface ReportTable {
    kind: "table";
    title: string;
    /** Shape [columns]. */
    columns: string[];
    /** Shape [rows, columns]. */
    rows: (string | number)[][];
}
