import type { LoadReport } from "./loadReport.js";

/** A load report with its encoded form, which relays hand on unchanged. */
export interface EncodedReport {
    report: LoadReport;
    bytes: Buffer;
}
