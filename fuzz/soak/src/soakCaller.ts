import type { Random } from "@knapweedwood/core.random/random";
import { wireHeaders } from "@knapweedwood/platform.adapter/wireHeaders";
import { CallerConnection } from "./callerConnection.js";
import type { CallKind } from "./callKind.js";
import type { CallRecord } from "./callRecord.js";
import { crashingRequest } from "./crashingRequest.js";
import { pause } from "./pause.js";
import type { SoakBalancer } from "./soakBalancer.js";
import type { SoakGateway } from "./soakGateway.js";
import type { SoakRecord } from "./soakRecord.js";
import type { SoakTeams } from "./soakTeams.js";

const MAX_PAUSE_MS = 150;
const MIN_CRASHING_PAUSE_MS = 500;
const MAX_CRASHING_PAUSE_MS = 1500;
const PAUSE_AFTER_FAILURE_MS = 100;
const TIMEOUT_MS = 4000;
const MAX_EVENTS = 20;
/** Share of the calls with a long body. */
const UPLOAD_SHARE = 0.05;
const MAX_UPLOAD_BYTES = 400_000;
const PATHS: { [kind in Exclude<CallKind, "probe" | "crashing" | "slow">]: string; } = {
    "idempotent": "/fetch/x",
    "once": "/book/x",
    "stream": "/stream/x",
    "stream-once": "/stream-once/x",
};
/** Share of the calls with a withdrawn key, and with the header of another team. */
const WITHDRAWN_SHARE = 0.15;
const OTHER_TEAM_SHARE = 0.2;
/** The buffers of the system take a response of 4 MB within 0.1 s, so that no gateway waits for the reader. */
const SLOW_PADDING_BYTES = 16_000_000;
const SLOW_PAUSE_MS = 2000;
const SLOW_READ_INTERVAL_MS = 20;
const KINDS = Object.keys(PATHS) as (keyof typeof PATHS)[];

/** A caller that sends one request at a time. It reuses its connection until the gateway closes it. */
export class SoakCaller {
    private readonly opts: {
        name: string;
        balancer: SoakBalancer;
        record: SoakRecord;
        random: Random;
        nowMs: () => number;
        newestVersion: () => number;
        /** Undefined for a deployment without teams. */
        teams?: SoakTeams | undefined;
    };
    private connection: CallerConnection | undefined;
    private callCount = 0;

    constructor(opts: SoakCaller["opts"]) {
        this.opts = opts;
    }

    /** Sends random calls, with pauses between them, until `signal` is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const kind = KINDS[this.opts.random.nextInteger(KINDS.length)]!;
            const { random } = this.opts;
            const uploadBytes = random.next() < UPLOAD_SHARE ? random.nextInteger(MAX_UPLOAD_BYTES) : 0;
            const body = JSON.stringify({
                events: 1 + random.nextInteger(MAX_EVENTS),
                caller: this.opts.name,
                upload: "u".repeat(uploadBytes),
            });
            const call = await this.send({ kind, path: PATHS[kind], body });
            await this.resume(call);
            const pauseMs = call.statusCode === 0 ? PAUSE_AFTER_FAILURE_MS : this.opts.random.nextInteger(MAX_PAUSE_MS);
            await pause(pauseMs);
        }
        this.connection?.close();
    }

    /**
     * Requests, from random gateways, routes that exist only in the newest configuration or the one before it.
     * Continues until `signal` is aborted.
     */
    async probe(gateways: SoakGateway[], signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await pause(MAX_PAUSE_MS);
            const version = Math.max(1, this.opts.newestVersion() - this.opts.random.nextInteger(2));
            const gateway = gateways[this.opts.random.nextInteger(gateways.length)]!;
            this.connection = new CallerConnection(gateway);
            await this.send({
                kind: "probe",
                path: `/only-${version}/x`,
                body: JSON.stringify({ events: 1 }),
                version,
            });
            this.connection.close();
        }
    }

    /** Sends the crashing request again and again, each time at another random gateway, until `signal` is aborted. */
    async sendCrashing(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const rangeMs = MAX_CRASHING_PAUSE_MS - MIN_CRASHING_PAUSE_MS;
            await pause(MIN_CRASHING_PAUSE_MS + this.opts.random.nextInteger(rangeMs));
            await this.send({ kind: "crashing", ...crashingRequest });
            this.connection?.close();
        }
    }

    /** Sends calls with long responses and reads these slowly or not at all, until `signal` is aborted. */
    async readSlowly(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await pause(SLOW_PAUSE_MS);
            const body = JSON.stringify({ padding: SLOW_PADDING_BYTES, caller: this.opts.name });
            const readIntervalMs = this.opts.random.next() < 0.5 ? Infinity : SLOW_READ_INTERVAL_MS;
            await this.send({ kind: "slow", path: PATHS.idempotent, body }, readIntervalMs);
            this.connection?.close();
        }
    }

    /** Resumes a stream that has been cut off after its first event, at another gateway where the balancer chooses one. */
    private async resume(call: CallRecord): Promise<void> {
        const events = [...call.responseBody.matchAll(/^id: (\d+)\ndata: .*\n\n/gmu)];
        const resumedAfter = Number(events.at(-1)?.[1] ?? 0);
        if (call.kind !== "stream" || call.isComplete || resumedAfter === 0) {
            return;
        }
        this.connection?.close();
        const { kind, path, body, key } = call;
        await this.send({ kind, path, body, key, resumedCallId: call.id, resumedAfter });
    }

    private async send(
        opts:
            & Pick<CallRecord, "kind" | "path" | "body">
            & Partial<Pick<CallRecord, "version" | "resumedCallId" | "resumedAfter" | "key">>,
        readIntervalMs = 0,
    ): Promise<CallRecord> {
        const connection = this.openConnection();
        const { gateway } = connection;
        const call: CallRecord = {
            ...opts,
            id: `${this.opts.name}-${this.callCount++}`,
            gateway: gateway.name,
            startNumber: gateway.startNumber(),
            sentAtMs: this.opts.nowMs(),
            endedAtMs: undefined,
            statusCode: 0,
            isComplete: false,
            responseBody: "",
            hasProof: false,
            version: opts.version,
            key: opts.key ?? this.keyFor(opts.kind),
            resumedCallId: opts.resumedCallId,
            resumedAfter: opts.resumedAfter ?? 0,
        };
        this.opts.record.calls.push(call);
        const response = await connection.send({
            ...call,
            method: "POST",
            timeoutMs: TIMEOUT_MS,
            readIntervalMs,
            headers: {
                ...this.teamHeaders(call.key),
                ...opts.resumedCallId === undefined ? {} : {
                    [wireHeaders.resumedRequestId]: opts.resumedCallId,
                    [wireHeaders.lastEventId]: String(call.resumedAfter),
                },
            },
        });
        call.statusCode = response.statusCode;
        call.isComplete = response.isComplete;
        call.responseBody = response.body;
        call.hasProof = response.hasProof;
        call.endedAtMs = this.opts.nowMs();
        return call;
    }

    /** Draws a key. Probes and crashing calls always have a valid key of a team without a limit. */
    private keyFor(kind: CallKind): string | undefined {
        const { teams, random } = this.opts;
        if (teams === undefined || kind === "probe" || kind === "crashing" || kind === "slow") {
            return teams?.validKey().key;
        }
        const withdrawn = random.next() < WITHDRAWN_SHARE ? teams.withdrawnKey() : undefined;
        return (withdrawn ?? teams.validKey(teams.randomTeam())).key;
    }

    private teamHeaders(key: string | undefined): { [name: string]: string; } {
        const { teams, random } = this.opts;
        if (teams === undefined || key === undefined) {
            return {};
        }
        const headers: { [name: string]: string; } = { [wireHeaders.key]: key };
        if (random.next() < OTHER_TEAM_SHARE) {
            headers[wireHeaders.team] = teams.randomTeam();
        }
        return headers;
    }

    private openConnection(): CallerConnection {
        if (this.connection === undefined || this.connection.isClosed) {
            this.connection = new CallerConnection(this.opts.balancer.pick());
        }
        return this.connection;
    }
}
