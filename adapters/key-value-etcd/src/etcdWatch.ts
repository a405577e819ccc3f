import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { unavailableError } from "@knapweedwood/core.key-value/unavailableError";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import { Client, type Dispatcher } from "undici";
import { etcdCallError } from "./etcdCallError.js";
import type { EtcdStreamMessage } from "./etcdStreamMessage.js";
import type { EtcdWatchResponse } from "./etcdWatchResponse.js";
import { IdleTimer } from "./idleTimer.js";
import { prefixRange } from "./prefixRange.js";
import { splitLines } from "./splitLines.js";
import { toWatchBatches } from "./toWatchBatches.js";

const OK_STATUS = 200;

/**
 * One watch. Each stream has a connection of its own, which is replaced when it has been idle: a silent
 * connection can't be told from a quiet one.
 */
export class EtcdWatch {
    private readonly clock: Clock;
    private readonly baseUrl: string;
    private readonly prefix: string;
    private readonly idleMs: number;
    private readonly connectTimeoutMs: number;

    constructor(opts: { clock: Clock; baseUrl: string; prefix: string; idleMs: number; connectTimeoutMs: number; }) {
        this.clock = opts.clock;
        this.baseUrl = opts.baseUrl;
        this.prefix = opts.prefix;
        this.idleMs = opts.idleMs;
        this.connectTimeoutMs = opts.connectTimeoutMs;
    }

    /** Changes after `afterRevision`, until aborted. Throws `KEY_VALUE_UNAVAILABLE` when the service is away. */
    async *batches(opts: { afterRevision: number; signal: AbortSignal; }): AsyncIterable<WatchBatch> {
        let afterRevision = opts.afterRevision;
        while (!opts.signal.aborted) {
            for await (const batch of this.stream(afterRevision, opts.signal)) {
                afterRevision = batch.revision;
                yield batch;
            }
        }
    }

    /** One connection's part of the watch; ends when idle or aborted. */
    private async *stream(afterRevision: number, signal: AbortSignal): AsyncIterable<WatchBatch> {
        const client = new Client(this.baseUrl, {
            connect: { timeout: this.connectTimeoutMs },
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        const idle = new IdleTimer(this.clock);
        const endSignal = AbortSignal.any([signal, idle.signal]);
        try {
            idle.restart(this.connectTimeoutMs);
            const response = await client.request(this.requestOf(afterRevision, endSignal));
            yield* this.read(response, idle);
        }
        catch (error) {
            if (idle.hasExpired || signal.aborted) {
                this.throwIfUnconfirmed(idle);
                return;
            }
            throw watchError(error);
        }
        finally {
            idle.stop();
            await client.destroy().catch(() => undefined);
        }
    }

    private async *read(response: Dispatcher.ResponseData, idle: IdleTimer): AsyncIterable<WatchBatch> {
        if (response.statusCode !== OK_STATUS) {
            throw unavailableError(`The watch was refused with status ${response.statusCode}.`);
        }
        for await (const line of splitLines(response.body)) {
            idle.restart(this.idleMs);
            yield* batchesOf(line);
            idle.restart(this.idleMs);
        }
        throw unavailableError("The watch was ended by the key-value service.");
    }

    /** A new connection that does not even confirm the watch shows that the service is away. */
    private throwIfUnconfirmed(idle: IdleTimer): void {
        if (idle.hasExpired && idle.startCount === 1) {
            throw unavailableError("The key-value service did not confirm the watch.");
        }
    }

    private requestOf(afterRevision: number, signal: AbortSignal): Dispatcher.RequestOptions {
        const startRevision = String(afterRevision + 1);
        return {
            method: "POST",
            path: "/v3/watch",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({
                create_request: { ...prefixRange(this.prefix), start_revision: startRevision },
            }),
            signal,
        };
    }
}

function batchesOf(line: string): WatchBatch[] {
    const message = JSON.parse(line) as EtcdStreamMessage<EtcdWatchResponse>;
    if (message.error !== undefined) {
        throw etcdCallError(message.error, false);
    }
    if (message.result?.compact_revision !== undefined) {
        throw new KnapweedError("KEY_VALUE_COMPACTED", "The changes asked for are no longer kept.", {
            hint: "List the keys and watch from the revision of the newest.",
        });
    }
    if (message.result?.canceled === true) {
        throw unavailableError("The watch was cancelled by the key-value service.");
    }
    return toWatchBatches(message.result?.events ?? []);
}

function watchError(thrown: unknown): KnapweedError {
    return thrown instanceof KnapweedError ? thrown : unavailableError(toKnapweedError(thrown).message, thrown);
}
