import type { ReportPlot } from "./reportPlot.js";
import type { ReportTable } from "./reportTable.js";

/** Section of a report: a table or a plot. */
export type ReportSection = ReportTable | ReportPlot;
