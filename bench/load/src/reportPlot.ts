import type { PlotSeries } from "./plotSeries.js";

/** Line plot of a report. */
export interface ReportPlot {
    kind: "plot";
    title: string;
    /** Label of the x axis with its unit. */
    xLabel: string;
    /** Label of the y axis with its unit. */
    yLabel: string;
    /** Whether the y axis is logarithmic; it omits values of 0 and less. */
    isLogarithmic?: boolean;
    series: PlotSeries[];
}
