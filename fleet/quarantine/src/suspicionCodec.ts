import type { RequestTraitId } from "@knapweedwood/core.ids/requestTraitId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";
import { Packr } from "msgpackr";
import { z } from "zod";
import type { Suspicion } from "./suspicion.js";

const count = z.number().int().nonnegative();
/** Values in their packed order, without names. */
const packedSuspicion = z.tuple([
    z.string(),
    z.string(),
    count,
    z.array(z.string()),
    count,
    z.boolean(),
    z.boolean(),
    count,
]);

/** Maximum number of suspicions in one datagram, so that it fits an Ethernet frame. */
const MAX_SUSPICIONS = 6;

/** Encodes suspicions as msgpack datagrams. */
export class SuspicionCodec {
    private readonly packr = new Packr({ useRecords: false });

    /** Encodes suspicions in as many datagrams as they need, shape [datagrams]. */
    encode(suspicions: readonly Suspicion[]): Buffer[] {
        return Array.from({ length: Math.ceil(suspicions.length / MAX_SUSPICIONS) }, (_, index) =>
            this.packr.pack(
                suspicions
                    .slice(index * MAX_SUSPICIONS, (index + 1) * MAX_SUSPICIONS)
                    .map(
                        one => [
                            one.service,
                            one.part,
                            one.disproofs,
                            one.crashes,
                            one.rounds,
                            one.hasSucceeded,
                            one.isQuarantined,
                            one.probes,
                        ],
                    ),
            ));
    }

    /** Decodes a datagram, shape [suspicions]. Throws if its bytes are not suspicions. */
    decode(bytes: Uint8Array): Suspicion[] {
        return z.array(packedSuspicion).parse(this.packr.unpack(bytes)).map(
            ([service, part, disproofs, crashes, rounds, hasSucceeded, isQuarantined, probes]) => ({
                service: service as ServiceName,
                part: part as RequestTraitId,
                disproofs,
                crashes: crashes as UpstreamProcessKey[],
                rounds,
                hasSucceeded,
                isQuarantined,
                probes,
            }),
        );
    }
}
