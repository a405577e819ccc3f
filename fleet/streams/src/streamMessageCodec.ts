import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { RequestId } from "@knapweedwood/core.ids/requestId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import { Packr } from "msgpackr";
import { z } from "zod";
import type { RecordedOrigin } from "./recordedOrigin.js";
import type { StreamMessage } from "./streamMessage.js";

/** Values in their packed order, without names, since there is a message for each stream. */
const packedOrigin = z.tuple([z.string(), z.string(), z.string()]);
const packedMessage = z.union([
    z.tuple([z.literal("origins"), z.array(packedOrigin)]),
    z.tuple([z.literal("query"), z.string(), z.string(), z.number().int()]),
    z.tuple([z.literal("response"), z.string(), z.string(), z.array(z.string())]),
]);

/** Maximum number of origins in one datagram, so that it fits an Ethernet frame. */
const MAX_ORIGINS = 20;

/** Encodes messages about streams as msgpack datagrams. */
export class StreamMessageCodec {
    private readonly packr = new Packr({ useRecords: false });

    /** Encodes origins in as many datagrams as they need, shape [datagrams]. */
    encodeOrigins(origins: readonly RecordedOrigin[]): Buffer[] {
        return Array.from({ length: Math.ceil(origins.length / MAX_ORIGINS) }, (_, index) => {
            const part = origins.slice(index * MAX_ORIGINS, (index + 1) * MAX_ORIGINS);
            return this.packr.pack([
                "origins",
                part.map(({ requestId, origin }) => [requestId, origin.service, origin.softwareVersion]),
            ]);
        });
    }

    encode(message: Exclude<StreamMessage, { kind: "origins"; }>): Buffer {
        if (message.kind === "query") {
            const { requestId, replyTo } = message;
            return this.packr.pack(["query", requestId, replyTo.host, replyTo.port]);
        }
        const { requestId, responder, origin } = message;
        const packed = origin === undefined ? [] : [origin.service, origin.softwareVersion];
        return this.packr.pack(["response", requestId, responder, packed]);
    }

    /** Decodes a datagram. Throws if its bytes are not a message about streams. */
    decode(bytes: Buffer): StreamMessage {
        const packed = packedMessage.parse(this.packr.unpack(bytes));
        switch (packed[0]) {
            case "origins":
                return { kind: "origins", origins: packed[1].map(toOrigin) };
            case "query":
                return {
                    kind: "query",
                    requestId: packed[1] as RequestId,
                    replyTo: { host: packed[2], port: packed[3] },
                };
            case "response": {
                const [, requestId, responder, [service, softwareVersion]] = packed;
                const isKnown = service !== undefined && softwareVersion !== undefined;
                return {
                    kind: "response",
                    responder: responder as InstanceName,
                    ...isKnown
                        ? toOrigin([requestId, service, softwareVersion])
                        : { requestId: requestId as RequestId, origin: undefined },
                };
            }
        }
    }
}

function toOrigin([requestId, service, softwareVersion]: z.infer<typeof packedOrigin>): RecordedOrigin {
    return {
        requestId: requestId as RequestId,
        origin: {
            service: service as ServiceName,
            softwareVersion: softwareVersion as SoftwareVersion,
        },
    };
}
