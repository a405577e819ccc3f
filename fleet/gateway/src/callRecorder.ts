import type { RequestId } from "@knapweedwood/core.ids/requestId";
import type { QueueEstimate } from "@knapweedwood/fleet.load/queueEstimate";
import type { PromptRun } from "@knapweedwood/fleet.prompts/promptRun";
import type { Route } from "@knapweedwood/fleet.view/route";
import type { Team } from "@knapweedwood/fleet.view/team";
import type { GatewayContext } from "./gatewayContext.js";
import { queueFieldsOf } from "./queueFieldsOf.js";

type RecorderContext = Pick<GatewayContext, "clock" | "logger" | "metrics">;

interface CallRecorderOptions {
    context: RecorderContext;
    route: Route;
    requestId: RequestId;
    arrivedAtMs: number;
}

/** Writes the log lines and metrics of one online call. */
export class CallRecorder {
    /** Time of the latest data from an upstream, in milliseconds; 0 before the first. */
    lastDataAtMs = 0;
    private readonly opts: CallRecorderOptions;
    private firstDataAtMs: number | undefined;

    constructor(opts: CallRecorderOptions) {
        this.opts = opts;
    }

    /** Records that data of the response has arrived. */
    onData(nowMs: number): void {
        this.firstDataAtMs ??= nowMs;
        this.lastDataAtMs = nowMs;
    }

    /** Returns the time since the arrival of the request, in whole milliseconds. */
    elapsedMs(): number {
        return Math.round(this.opts.context.clock.nowMs() - this.opts.arrivedAtMs);
    }

    /** Returns the time from the arrival of the request to the first data, or until now, in whole milliseconds. */
    firstPartMs(): number {
        return this.firstDataAtMs === undefined
            ? this.elapsedMs()
            : Math.round(this.firstDataAtMs - this.opts.arrivedAtMs);
    }

    /** Records that the request has been placed at an upstream. */
    onPlaced(fields: { [field: string]: unknown; }): void {
        const { context: { clock, metrics }, route, arrivedAtMs } = this.opts;
        metrics.timing("placement_wait_ms", clock.nowMs() - arrivedAtMs, { kind: route.kind });
        this.log("call-placed", { ...fields, waitedMs: this.elapsedMs() });
    }

    /** Records how much of its prompt the chosen upstream is expected to read. */
    onPrompt({ keptTokens, readTokens }: PromptRun): void {
        if (keptTokens + readTokens > 0) {
            const { metrics } = this.opts.context;
            metrics.increment("prompt_tokens_total", { outcome: "kept" }, keptTokens);
            metrics.increment("prompt_tokens_total", { outcome: "read" }, readTokens);
        }
    }

    /** Records that the request waits for a slot. */
    onWaiting(team: Team | undefined, estimate: QueueEstimate): void {
        this.countForTeam(team, "waiting");
        this.log("call-waiting", queueFieldsOf(team, estimate));
    }

    /** Records that the request is rejected. `estimate` is given if it would get no slot in time. */
    onRejected(team: Team | undefined, estimate: QueueEstimate | undefined): void {
        if (estimate !== undefined) {
            this.countForTeam(team, "waiting_rejected");
        }
    }

    /** Records the end of the call, whose event says how it ended. */
    end(event: string, fields: { [field: string]: unknown; }): void {
        const { context: { metrics }, route: { kind }, arrivedAtMs } = this.opts;
        metrics.increment("calls_total", { kind, outcome: event });
        if (this.firstDataAtMs !== undefined) {
            metrics.timing("first_part_ms", this.firstDataAtMs - arrivedAtMs, { kind });
        }
        this.log(event, fields);
    }

    /** Writes a log line with the id and the route of the request. */
    log(event: string, fields: { [field: string]: unknown; }): void {
        const { context: { logger }, route, requestId } = this.opts;
        logger.info(event, { requestId, route: route.name, ...fields });
    }

    private countForTeam(team: Team | undefined, outcome: string): void {
        if (team !== undefined) {
            this.opts.context.metrics.increment("team_requests_total", { team: team.id, outcome });
        }
    }
}
