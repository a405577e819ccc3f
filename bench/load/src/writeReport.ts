import { writeFile } from "node:fs/promises";
import { htmlReport } from "./htmlReport.js";
import type { ReportSection } from "./reportSection.js";

/** Writes the figures as JSON to `jsonFile`, and the sections as an HTML page to `htmlFile`, each where given. */
export async function writeReport(opts: {
    title: string;
    figures: unknown;
    sections: ReportSection[];
    jsonFile?: string;
    htmlFile?: string;
}): Promise<void> {
    if (opts.jsonFile !== undefined) {
        await writeFile(opts.jsonFile, `${JSON.stringify(opts.figures, undefined, 4)}\n`);
    }
    if (opts.htmlFile !== undefined) {
        await writeFile(opts.htmlFile, htmlReport(opts.title, opts.sections));
    }
}
