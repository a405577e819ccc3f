import { encodeBytes } from "@knapweedwood/adapters.key-value-etcd/encodeBytes";
import type { EtcdEvent } from "@knapweedwood/adapters.key-value-etcd/etcdEvent";
import type { EtcdWatchRequest } from "@knapweedwood/adapters.key-value-etcd/etcdWatchRequest";
import type { EtcdWatchResponse } from "@knapweedwood/adapters.key-value-etcd/etcdWatchResponse";
import { prefixOfRange } from "@knapweedwood/adapters.key-value-etcd/prefixOfRange";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { unavailableError } from "@knapweedwood/core.key-value/unavailableError";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import type { ServerResponse } from "node:http";
import { etcdErrorResponse } from "./etcdErrorResponse.js";
import type { MemoryKeyValueService } from "./memoryKeyValueService.js";
import { toKeyValue } from "./toKeyValue.js";

/**
 * Responds to `/v3/watch` with lines of JSON, until the client disconnects or the watch fails. In an outage, responds
 * with an error instead.
 */
export async function streamWatch(opts: {
    service: MemoryKeyValueService;
    body: EtcdWatchRequest;
    response: ServerResponse;
}): Promise<void> {
    const { service, response } = opts;
    const request = opts.body.create_request;
    const { prefix } = prefixOfRange(request);
    const controller = new AbortController();
    response.once("close", () => controller.abort());
    const startRevision = Number(request.start_revision ?? 0);
    const afterRevision = startRevision > 0 ? startRevision - 1 : service.revision;
    if (service.faults.outage) {
        const errorResponse = etcdErrorResponse(unavailableError("The key-value service is unavailable."));
        response.writeHead(errorResponse.statusCode, { "content-type": "application/json" });
        response.end(JSON.stringify(errorResponse.error));
        return;
    }
    const batches = service.watch(prefix, { afterRevision, signal: controller.signal });
    response.writeHead(200, { "content-type": "application/json" });
    writeLine(response, { header: headerOf(service.revision), created: true });
    try {
        for await (const batch of batches) {
            writeLine(response, { header: headerOf(batch.revision), events: eventsOf(batch) });
        }
        response.end();
    }
    catch (error) {
        endWithError(response, service.revision, error);
    }
}

function endWithError(response: ServerResponse, revision: number, thrown: unknown): void {
    if (toKnapweedError(thrown).code === "ERR_KNAPWEED_KEY_VALUE_COMPACTED") {
        writeLine(response, { header: headerOf(revision), canceled: true, compact_revision: String(revision) });
        response.end();
        return;
    }
    response.destroy();
}

function writeLine(response: ServerResponse, result: EtcdWatchResponse): void {
    response.write(`${JSON.stringify({ result })}\n`);
}

function headerOf(revision: number): { revision: string; } {
    return { revision: String(revision) };
}

function eventsOf(batch: WatchBatch): EtcdEvent[] {
    return [
        ...batch.puts.map(entry => ({ kv: toKeyValue(entry) })),
        ...batch.deletedKeys.map(key => ({
            type: "DELETE" as const,
            kv: { key: encodeBytes(key), mod_revision: String(batch.revision) },
        })),
    ];
}
