import type { Clock } from "@knapweedwood/core.clock/clock";
import loglevel from "loglevel";
import type { LogFields } from "./logFields.js";
import type { Logger } from "./logger.js";

type Level = "debug" | "info" | "warn" | "error";

/** Writes each event as one JSON line, to standard error unless a target is given. */
export class JsonLogger implements Logger {
    private readonly clock: Clock;
    private readonly fields: LogFields;
    private readonly target: loglevel.Logger;

    constructor(opts: { clock: Clock; level: Level; fields?: LogFields; target?: loglevel.Logger; }) {
        this.clock = opts.clock;
        this.fields = opts.fields ?? {};
        this.target = opts.target ?? createTarget(opts.level);
    }

    debug(event: string, fields?: LogFields): void {
        this.write("debug", event, fields);
    }

    info(event: string, fields?: LogFields): void {
        this.write("info", event, fields);
    }

    warn(event: string, fields?: LogFields): void {
        this.write("warn", event, fields);
    }

    error(event: string, fields?: LogFields): void {
        this.write("error", event, fields);
    }

    child(fields: LogFields): Logger {
        return new JsonLogger({
            clock: this.clock,
            level: "info",
            fields: { ...this.fields, ...fields },
            target: this.target,
        });
    }

    private write(level: Level, event: string, fields: LogFields = {}): void {
        const time = new Date(this.clock.nowMs()).toISOString();
        this.target[level](JSON.stringify({ time, level, event, ...this.fields, ...fields }));
    }
}

function createTarget(level: Level): loglevel.Logger {
    const target = loglevel.getLogger(Symbol("knapweedwood"));
    target.methodFactory = () => line => process.stderr.write(`${String(line)}\n`);
    target.setLevel(level, false);
    return target;
}
