import type { ReportPlot } from "./reportPlot.js";
import type { ReportTable } from "./reportTable.js";

/** One part of a report. */
export type ReportSection = ReportTable | ReportPlot;
