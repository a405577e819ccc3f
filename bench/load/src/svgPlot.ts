import { escapeHtml } from "./escapeHtml.js";
import type { PlotSeries } from "./plotSeries.js";
import type { ReportPlot } from "./reportPlot.js";

const WIDTH = 720;
const HEIGHT = 320;
const LEFT = 70;
const RIGHT = 20;
const TOP = 30;
const BOTTOM = 50;
const TICK_COUNT = 5;
const COLOURS = ["#1b6ca8", "#c4451c", "#3a7d34", "#7b4ea3", "#9a7d0a", "#444444"];

interface Scale {
    minimum: number;
    maximum: number;
    toPixel: (value: number) => number;
}

/** Renders a line plot as an SVG element. */
export function svgPlot(plot: ReportPlot): string {
    const series = plot.isLogarithmic === true ? plot.series.map(logarithmic) : plot.series;
    const points = series.flatMap(line => line.points);
    const x = scaleOf(points.map(point => point.x), LEFT, WIDTH - RIGHT);
    const y = scaleOf(
        [...points.map(point => point.y), ...plot.isLogarithmic === true ? [] : [0]],
        HEIGHT - BOTTOM,
        TOP,
    );
    const parts = [
        axes(plot, x, y),
        ...series.map((line, index) => drawLine(line, index, x, y)),
        ...series.map((line, index) => legend(line.name, index)),
    ];
    return `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" width="${WIDTH}" font-family="sans-serif" font-size="11">`
        + `${parts.join("")}</svg>`;
}

function logarithmic(line: PlotSeries): PlotSeries {
    const points = line.points.filter(point => point.y > 0).map(({ x, y }) => ({ x, y: Math.log10(y) }));
    return { ...line, points };
}

function scaleOf(values: number[], from: number, to: number): Scale {
    const minimum = values.reduce((least, value) => Math.min(least, value), values[0] ?? 0);
    const maximum = values.reduce((most, value) => Math.max(most, value), values[0] ?? 1);
    const range = maximum > minimum ? maximum - minimum : 1;
    return { minimum, maximum: minimum + range, toPixel: value => from + (value - minimum) / range * (to - from) };
}

function axes(plot: ReportPlot, x: Scale, y: Scale): string {
    const yText = (value: number) => labelOf(plot.isLogarithmic === true ? 10 ** value : value);
    const xTicks = ticksOf(x).map(value =>
        `<text x="${x.toPixel(value)}" y="${HEIGHT - BOTTOM + 16}" text-anchor="middle">${labelOf(value)}</text>`
    );
    const yTicks = ticksOf(y).map(value =>
        `<line x1="${LEFT}" x2="${WIDTH - RIGHT}" y1="${y.toPixel(value)}" y2="${y.toPixel(value)}" stroke="#ddd"/>`
        + `<text x="${LEFT - 6}" y="${y.toPixel(value) + 4}" text-anchor="end">${yText(value)}</text>`
    );
    const labels =
        `<text x="${(LEFT + WIDTH) / 2}" y="${HEIGHT - 12}" text-anchor="middle">${escapeHtml(plot.xLabel)}</text>`
        + `<text transform="translate(14 ${HEIGHT / 2}) rotate(-90)" text-anchor="middle">${
            escapeHtml(plot.yLabel)
        }</text>`;
    return [...yTicks, ...xTicks, labels].join("");
}

function ticksOf(scale: Scale): number[] {
    const step = (scale.maximum - scale.minimum) / TICK_COUNT;
    return Array.from({ length: TICK_COUNT + 1 }, (_, index) => scale.minimum + index * step);
}

function labelOf(value: number): string {
    return String(Number(value.toPrecision(3)));
}

function drawLine(line: PlotSeries, index: number, x: Scale, y: Scale): string {
    const points = line.points.map(point => `${x.toPixel(point.x).toFixed(1)},${y.toPixel(point.y).toFixed(1)}`).join(
        " ",
    );
    return `<polyline points="${points}" fill="none" stroke="${colourOf(index)}" stroke-width="1.5"/>`;
}

function legend(name: string, index: number): string {
    const x = LEFT + index * 130;
    return `<rect x="${x}" y="8" width="10" height="10" fill="${colourOf(index)}"/>`
        + `<text x="${x + 14}" y="17">${escapeHtml(name)}</text>`;
}

function colourOf(index: number): string {
    return COLOURS[index % COLOURS.length] ?? "#000000";
}
