import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { formatTimeline } from "@knapweedwood/observability.explain/formatTimeline";
import type { LogLine } from "@knapweedwood/observability.explain/logLine";
import { parseLogLine } from "@knapweedwood/observability.explain/parseLogLine";
import { Timeline } from "@knapweedwood/observability.explain/timeline";
import { Args } from "@oclif/core";
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { KnapweedCommand } from "../knapweedCommand.js";

/** Shows the timeline of one request, job or item from the log files of many processes. */
export default class Explain extends KnapweedCommand {
    static override description =
        "show the timeline of a request, job or item, with the state of the processes at the time";
    static override strict = false;
    static override args = {
        id: Args.string({ required: true, description: "id of the request, job or item" }),
        logs: Args.string({ required: true, description: "log files of the processes, one or more" }),
    };
    static override examples = ["<%= config.bin %> explain 3a4e3240f17a2735 logs/*"];

    async run(): Promise<unknown> {
        const { argv, args } = await this.parse(Explain);
        const files = argv.slice(1) as string[];
        const timeline = new Timeline(args.id);
        await readLines(files, line => timeline.addMatch(line));
        await readLines(files, line => timeline.addContext(line));
        const entries = timeline.entries();
        if (entries.length === 0) {
            throw new KnapweedError("ID_NOT_IN_LOGS", `No log line in ${files.length} files has the id ${args.id}`, {
                hint: "Pass the logs of all gateways and runners. Unread output is dropped, see log-lines-dropped.",
            });
        }
        formatTimeline(entries).forEach(line => this.log(line));
        return entries;
    }
}

async function readLines(files: string[], onLine: (line: LogLine) => void): Promise<void> {
    for (const file of files) {
        for await (const text of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
            const line = parseLogLine(text);
            if (line !== undefined) {
                onLine(line);
            }
        }
    }
}
