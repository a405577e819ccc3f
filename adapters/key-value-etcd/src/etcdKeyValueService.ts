import type { HttpResponse } from "@knapweedwood/adapters.http/httpResponse";
import { PlatformHttpClient } from "@knapweedwood/adapters.http/platformHttpClient";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { answerLostError } from "@knapweedwood/core.key-value/answerLostError";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { TransactionResult } from "@knapweedwood/core.key-value/transactionResult";
import { unavailableError } from "@knapweedwood/core.key-value/unavailableError";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import { encodeBytes } from "./encodeBytes.js";
import { etcdCallError } from "./etcdCallError.js";
import type { EtcdError } from "./etcdError.js";
import type { EtcdLeaseResponse } from "./etcdLeaseResponse.js";
import type { EtcdRangeRequest } from "./etcdRangeRequest.js";
import type { EtcdRangeResponse } from "./etcdRangeResponse.js";
import type { EtcdStreamMessage } from "./etcdStreamMessage.js";
import type { EtcdTransactionResponse } from "./etcdTransactionResponse.js";
import { EtcdWatch } from "./etcdWatch.js";
import { prefixRange } from "./prefixRange.js";
import { toEntry } from "./toEntry.js";
import { toTransactionRequest } from "./toTransactionRequest.js";

const DEFAULT_READ_TIMEOUT_MS = 1000;
const DEFAULT_WRITE_TIMEOUT_MS = 2000;
const DEFAULT_WATCH_IDLE_MS = 3000;
const MS_PER_S = 1000;
const OK_STATUS = 200;
const UNAVAILABLE = 14;

/** Kind of a call. Only a `write` must not be sent twice. */
type CallKind = "read" | "keep-alive" | "write";

/**
 * Key-value service client for the etcd v3 JSON gateway. Reads and keep-alives are sent once more on a new connection
 * if no response arrives; writes are sent once. The time to live of a lease is rounded up to whole seconds.
 */
export class EtcdKeyValueService implements KeyValueService {
    private readonly clock: Clock;
    private readonly baseUrl: string;
    private readonly client: PlatformHttpClient;
    private readonly readTimeoutMs: number;
    private readonly writeTimeoutMs: number;
    private readonly watchIdleMs: number;

    /** @param opts.watchIdleMs a watch without messages for this long is restarted on a new connection */
    constructor(opts: {
        clock: Clock;
        baseUrl: string;
        readTimeoutMs?: number;
        writeTimeoutMs?: number;
        watchIdleMs?: number;
        maxConnections?: number;
    }) {
        this.clock = opts.clock;
        this.baseUrl = opts.baseUrl;
        this.client = new PlatformHttpClient(opts);
        this.readTimeoutMs = opts.readTimeoutMs ?? DEFAULT_READ_TIMEOUT_MS;
        this.writeTimeoutMs = opts.writeTimeoutMs ?? DEFAULT_WRITE_TIMEOUT_MS;
        this.watchIdleMs = opts.watchIdleMs ?? DEFAULT_WATCH_IDLE_MS;
    }

    async get(key: string): Promise<KeyValueEntry | undefined> {
        const entries = await this.range({ key: encodeBytes(key) });
        return entries[0];
    }

    list(prefix: string, opts: { limit?: number; afterKey?: string; } = {}): Promise<KeyValueEntry[]> {
        const limit = opts.limit === undefined ? undefined : String(opts.limit);
        return this.range({ ...prefixRange(prefix, opts.afterKey), limit });
    }

    async transact(compares: KeyValueCompare[], operations: KeyValueOperation[]): Promise<TransactionResult> {
        const request = toTransactionRequest(compares, operations);
        const response = await this.call<EtcdTransactionResponse>("write", "/v3/kv/txn", request);
        const current = (response.responses ?? []).flatMap(part => part.response_range?.kvs ?? []);
        return {
            succeeded: response.succeeded ?? false,
            revision: Number(response.header.revision),
            current: current.map(toEntry),
        };
    }

    async grantLease(ttlMs: number): Promise<string> {
        const ttlS = Math.ceil(ttlMs / MS_PER_S);
        const response = await this.call<EtcdLeaseResponse>("write", "/v3/lease/grant", { TTL: String(ttlS) });
        return response.ID;
    }

    async keepLeaseAlive(leaseId: string): Promise<number> {
        const message = await this.call<EtcdStreamMessage<EtcdLeaseResponse>>(
            "keep-alive",
            "/v3/lease/keepalive",
            { ID: leaseId },
        );
        return Number(message.result?.TTL ?? 0) * MS_PER_S;
    }

    async revokeLease(leaseId: string): Promise<void> {
        await this.call<EtcdLeaseResponse>("write", "/v3/lease/revoke", { ID: leaseId });
    }

    watch(prefix: string, opts: { afterRevision: number; signal: AbortSignal; }): AsyncIterable<WatchBatch> {
        const watch = new EtcdWatch({
            clock: this.clock,
            baseUrl: this.baseUrl,
            prefix,
            idleMs: this.watchIdleMs,
            connectTimeoutMs: this.readTimeoutMs,
        });
        return watch.batches(opts);
    }

    /** Closes all connections except those of watches, which their signal ends. */
    close(): Promise<void> {
        return this.client.close();
    }

    private async range(request: EtcdRangeRequest): Promise<KeyValueEntry[]> {
        const response = await this.call<EtcdRangeResponse>("read", "/v3/kv/range", request);
        return (response.kvs ?? []).map(toEntry);
    }

    private async call<Response>(kind: CallKind, path: string, body: unknown): Promise<Response> {
        const response = await this.send(kind, path, body);
        const isWrite = kind === "write";
        if (response.statusCode === OK_STATUS) {
            return parse<Response>(response.body, isWrite);
        }
        throw etcdCallError(errorOf(response), isWrite);
    }

    private async send(kind: CallKind, path: string, body: unknown): Promise<HttpResponse> {
        const isWrite = kind === "write";
        try {
            return await this.client.call({
                method: "POST",
                path,
                body,
                timeoutMs: isWrite ? this.writeTimeoutMs : this.readTimeoutMs,
                repeatable: !isWrite,
            });
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            const mayHaveRun = kind !== "read" && error.outcome !== "not-run";
            throw mayHaveRun ? answerLostError(error.message, error) : unavailableError(error.message, error);
        }
    }
}

function parse<Response>(body: Buffer, isWrite: boolean): Response {
    try {
        return JSON.parse(body.toString()) as Response;
    }
    catch (error) {
        const message = "The response body of the key-value service is not valid JSON.";
        throw isWrite ? answerLostError(message, error) : unavailableError(message, error);
    }
}

function errorOf(response: HttpResponse): EtcdError {
    try {
        const error = JSON.parse(response.body.toString()) as Partial<EtcdError>;
        return { code: error.code ?? UNAVAILABLE, message: error.message ?? `Status ${response.statusCode}.` };
    }
    catch {
        return { code: UNAVAILABLE, message: `Status ${response.statusCode}.` };
    }
}
