import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { createHttpConnector } from "@knapweedwood/core.http-connections/createHttpConnector";
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
 * One watch on a key prefix. Each stream uses its own connection. An idle connection is replaced, because a broken
 * connection can't be distinguished from one without changes.
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

    /**
     * Yields the changes after `afterRevision` until aborted. Throws `KEY_VALUE_UNAVAILABLE` when the service is
     * unavailable, and `KEY_VALUE_COMPACTED` when these changes are no longer stored.
     */
    async *batches(opts: { afterRevision: number; signal: AbortSignal; }): AsyncIterable<WatchBatch> {
        let afterRevision = opts.afterRevision;
        while (!opts.signal.aborted) {
            for await (const batch of this.stream(afterRevision, opts.signal)) {
                afterRevision = batch.revision;
                yield batch;
            }
        }
    }

    /** Yields the changes that one connection receives; ends when the connection is idle or the watch is aborted. */
    private async *stream(afterRevision: number, signal: AbortSignal): AsyncIterable<WatchBatch> {
        const client = new Client(this.baseUrl, {
            connect: createHttpConnector({ timeoutMs: this.connectTimeoutMs }),
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
            throw unavailableError(`The key-value service rejected the watch with status ${response.statusCode}.`);
        }
        for await (const line of splitLines(response.body)) {
            idle.restart(this.idleMs);
            yield* batchesOf(line);
            idle.restart(this.idleMs);
        }
        throw unavailableError("The key-value service ended the watch.");
    }

    /** Throws if a new connection did not confirm the watch, which shows that the service is unavailable. */
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
        throw new KnapweedError("KEY_VALUE_COMPACTED", "The requested changes are no longer stored.", {
            hint: "List the keys again and watch from the highest revision among them.",
        });
    }
    if (message.result?.canceled === true) {
        throw unavailableError("The key-value service cancelled the watch.");
    }
    return toWatchBatches(message.result?.events ?? []);
}

function watchError(thrown: unknown): KnapweedError {
    return thrown instanceof KnapweedError ? thrown : unavailableError(toKnapweedError(thrown).message, thrown);
}
