import { decodeBytes } from "@knapweedwood/adapters.key-value-etcd/decodeBytes";
import type { EtcdCompare } from "@knapweedwood/adapters.key-value-etcd/etcdCompare";
import type { EtcdDeleteRangeRequest } from "@knapweedwood/adapters.key-value-etcd/etcdDeleteRangeRequest";
import type { EtcdHeader } from "@knapweedwood/adapters.key-value-etcd/etcdHeader";
import type { EtcdLeaseResponse } from "@knapweedwood/adapters.key-value-etcd/etcdLeaseResponse";
import type { EtcdPutRequest } from "@knapweedwood/adapters.key-value-etcd/etcdPutRequest";
import type { EtcdRangeRequest } from "@knapweedwood/adapters.key-value-etcd/etcdRangeRequest";
import type { EtcdRangeResponse } from "@knapweedwood/adapters.key-value-etcd/etcdRangeResponse";
import type { EtcdRequestOperation } from "@knapweedwood/adapters.key-value-etcd/etcdRequestOperation";
import type { EtcdTransactionRequest } from "@knapweedwood/adapters.key-value-etcd/etcdTransactionRequest";
import type { EtcdTransactionResponse } from "@knapweedwood/adapters.key-value-etcd/etcdTransactionResponse";
import { prefixOfRange } from "@knapweedwood/adapters.key-value-etcd/prefixOfRange";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { MemoryKeyValueService } from "./memoryKeyValueService.js";
import { toKeyValue } from "./toKeyValue.js";

const MS_PER_S = 1000;

type GatewayCall = (body: never) => Promise<unknown>;

/** The unary calls of the etcd v3 JSON gateway, that is all except watches, on an in-memory service. */
export class EtcdGateway {
    private readonly service: MemoryKeyValueService;
    private readonly calls: { [path: string]: GatewayCall; } = {
        "/v3/kv/range": (body: EtcdRangeRequest) => this.range(body),
        "/v3/kv/put": (body: EtcdPutRequest) => this.put(body),
        "/v3/kv/deleterange": (body: EtcdDeleteRangeRequest) => this.deleteRange(body),
        "/v3/kv/txn": (body: EtcdTransactionRequest) => this.transact(body),
        "/v3/lease/grant": (body: { TTL: string; }) => this.grant(body),
        "/v3/lease/keepalive": (body: { ID: string; }) => this.keepAlive(body),
        "/v3/lease/revoke": (body: { ID: string; }) => this.revoke(body),
    };

    constructor(service: MemoryKeyValueService) {
        this.service = service;
    }

    /** Returns the handler of the calls to `path`, or undefined if there is none. */
    callOf(path: string): ((body: unknown) => Promise<unknown>) | undefined {
        return this.calls[path] as ((body: unknown) => Promise<unknown>) | undefined;
    }

    private get header(): EtcdHeader {
        return { revision: String(this.service.revision) };
    }

    private async range(request: EtcdRangeRequest): Promise<EtcdRangeResponse> {
        const kvs = await this.entriesOf(request);
        return { header: this.header, kvs: kvs.map(toKeyValue) };
    }

    private async entriesOf(request: EtcdRangeRequest) {
        if (request.range_end === undefined) {
            const entry = await this.service.get(decodeBytes(request.key).toString());
            return entry === undefined ? [] : [entry];
        }
        const { prefix, afterKey } = prefixOfRange(request);
        const limit = Number(request.limit ?? 0);
        return this.service.list(prefix, { afterKey, ...(limit > 0 ? { limit } : {}) });
    }

    private async put(request: EtcdPutRequest): Promise<{ header: EtcdHeader; }> {
        await this.service.transact([], [toOperation({ request_put: request })]);
        return { header: this.header };
    }

    private async deleteRange(request: EtcdDeleteRangeRequest): Promise<{ header: EtcdHeader; deleted: string; }> {
        const entries = await this.entriesOf(request);
        await this.service.transact([], entries.map(entry => ({ kind: "delete", key: entry.key })));
        return { header: this.header, deleted: String(entries.length) };
    }

    private async transact(request: EtcdTransactionRequest): Promise<EtcdTransactionResponse> {
        const compares = (request.compare ?? []).map(toCompare);
        const result = await this.service.transact(compares, (request.success ?? []).map(toOperation));
        const header: EtcdHeader = { revision: String(result.revision) };
        if (result.succeeded) {
            return { header, succeeded: true, responses: [] };
        }
        const responses = (request.failure ?? []).map(operation => {
            const key = decodeBytes(operation.request_range?.key).toString();
            const kvs = result.current.filter(entry => entry.key === key).map(toKeyValue);
            return { response_range: { header, kvs } };
        });
        return { header, responses };
    }

    private async grant(request: { TTL: string; }): Promise<EtcdLeaseResponse & { header: EtcdHeader; }> {
        const leaseId = await this.service.grantLease(Number(request.TTL) * MS_PER_S);
        return { header: this.header, ID: leaseId, TTL: request.TTL };
    }

    private async keepAlive(request: { ID: string; }) {
        const leftMs = await this.service.keepLeaseAlive(request.ID);
        const TTL = leftMs === 0 ? undefined : String(Math.ceil(leftMs / MS_PER_S));
        return { result: { header: this.header, ID: request.ID, TTL } };
    }

    private async revoke(request: { ID: string; }): Promise<{ header: EtcdHeader; }> {
        await this.service.revokeLease(request.ID);
        return { header: this.header };
    }
}

function toCompare(compare: EtcdCompare): KeyValueCompare {
    if (compare.target !== "MOD" || compare.result !== "EQUAL") {
        throw new KnapweedError("ETCD_UNSUPPORTED", "Only comparisons of mod_revision for equality are supported.");
    }
    return { key: decodeBytes(compare.key).toString(), modRevision: Number(compare.mod_revision) };
}

function toOperation(operation: EtcdRequestOperation): KeyValueOperation {
    const { request_put: put, request_delete_range: deletion } = operation;
    if (put !== undefined) {
        const leaseId = put.lease === undefined || put.lease === "0" ? undefined : put.lease;
        return { kind: "put", key: decodeBytes(put.key).toString(), value: decodeBytes(put.value), leaseId };
    }
    if (deletion !== undefined && deletion.range_end === undefined) {
        return { kind: "delete", key: decodeBytes(deletion.key).toString() };
    }
    throw new KnapweedError("ETCD_UNSUPPORTED", "Only puts and deletions of one key are supported.");
}
