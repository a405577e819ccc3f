import { escapeHtml } from "./escapeHtml.js";
import type { ReportSection } from "./reportSection.js";
import type { ReportTable } from "./reportTable.js";
import { svgPlot } from "./svgPlot.js";

const STYLE = "body{font-family:sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}"
    + "td,th{border:1px solid #ccc;padding:3px 8px;text-align:right}td:first-child,th:first-child{text-align:left}";

/** Renders a report as one self-contained HTML page. */
export function htmlReport(title: string, sections: ReportSection[]): string {
    const parts = sections.map(section =>
        `<h2>${escapeHtml(section.title)}</h2>${section.kind === "plot" ? svgPlot(section) : tableHtml(section)}`
    );
    return `<!doctype html><html lang="en"><meta charset="utf-8"><title>${escapeHtml(title)}</title>`
        + `<style>${STYLE}</style><h1>${escapeHtml(title)}</h1>${parts.join("")}</html>\n`;
}

function tableHtml(table: ReportTable): string {
    const rows = table.rows.map(row => rowHtml("td", row));
    return `<table>${rowHtml("th", table.columns)}${rows.join("")}</table>`;
}

function rowHtml(tag: "td" | "th", cells: (string | number)[]): string {
    return `<tr>${cells.map(cell => `<${tag}>${escapeHtml(cellText(cell))}</${tag}>`).join("")}</tr>`;
}

function cellText(cell: string | number): string {
    return typeof cell === "number" && !Number.isInteger(cell) ? cell.toFixed(2) : String(cell);
}
