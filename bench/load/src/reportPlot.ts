import type { PlotSeries } from "./plotSeries.js";

/** A line plot of a report. */
export interface ReportPlot {
    kind: "plot";
    title: string;
    /** Name of the x axis with its unit. */
    xLabel: string;
    /** Name of the y axis with its unit. */
    yLabel: string;
    /** Whether the y axis is logarithmic; values of 0 and less are left out. */
    isLogarithmic?: boolean;
    series: PlotSeries[];
}
