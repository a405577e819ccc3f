/** Named line of a plot. */
export interface PlotSeries {
    name: string;
    /** Shape [points]. */
    points: { x: number; y: number; }[];
}
