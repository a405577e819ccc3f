import type { RequestTraitId } from "@knapweedwood/core.ids/requestTraitId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";
import { Packr } from "msgpackr";
import { z } from "zod";
import { mergeSuspicions } from "./mergeSuspicions.js";
import type { Suspicion } from "./suspicion.js";
import { suspicionKeyOf } from "./suspicionKeyOf.js";

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

type PackedSuspicion = z.infer<typeof packedSuspicion>;

/** Maximum number of entries in one datagram, so that it fits an Ethernet frame. */
const MAX_ENTRIES = 6;
/** Number of withdrawn crashes in one entry. */
const MAX_WITHDRAWN = 8;
/**
 * Stands before the part in an entry with withdrawn crashes in place of crashes. The version before, which knows of none,
 * takes it for a part that no request has.
 */
const WITHDRAWN_PREFIX = "withdrawn:";

/** Encodes suspicions as msgpack datagrams. */
export class SuspicionCodec {
    private readonly packr = new Packr({ useRecords: false });

    /** Encodes suspicions in as many datagrams as they need, shape [datagrams]. */
    encode(suspicions: readonly Suspicion[]): Buffer[] {
        const entries = suspicions.flatMap(one => [packed(one), ...packedWithdrawn(one)]);
        return chunksOf(entries, MAX_ENTRIES).map(chunk => this.packr.pack(chunk));
    }

    /**
     * Decodes a datagram, shape [suspicions]. A suspicion may come in several pieces, which are merged like what several
     * processes know. Throws if its bytes are not suspicions.
     */
    decode(bytes: Uint8Array): Suspicion[] {
        return z.array(packedSuspicion).parse(this.packr.unpack(bytes)).map(toSuspicion).reduce(join, []);
    }
}

function packed(one: Suspicion): PackedSuspicion {
    return [
        one.service,
        one.part,
        one.disproofs,
        one.crashes,
        one.rounds,
        one.hasSucceeded,
        one.isQuarantined,
        one.probes,
    ];
}

function packedWithdrawn(one: Suspicion): PackedSuspicion[] {
    return chunksOf(one.withdrawn ?? [], MAX_WITHDRAWN).map(withdrawn => [
        one.service,
        `${WITHDRAWN_PREFIX}${one.part}`,
        one.disproofs,
        withdrawn,
        0,
        one.hasSucceeded,
        false,
        0,
    ]);
}

function toSuspicion(entry: PackedSuspicion): Suspicion {
    const [service, part, disproofs, crashes, rounds, hasSucceeded, isQuarantined, probes] = entry;
    const isWithdrawn = part.startsWith(WITHDRAWN_PREFIX);
    return {
        service: service as ServiceName,
        part: part.slice(isWithdrawn ? WITHDRAWN_PREFIX.length : 0) as RequestTraitId,
        disproofs,
        crashes: isWithdrawn ? [] : crashes as UpstreamProcessKey[],
        ...isWithdrawn ? { withdrawn: crashes as UpstreamProcessKey[] } : {},
        rounds,
        hasSucceeded,
        isQuarantined,
        probes,
    };
}

/** Joins a piece with the one before it if both are of the same suspicion. */
function join(suspicions: readonly Suspicion[], next: Suspicion): Suspicion[] {
    const last = suspicions.at(-1);
    const isSame = last !== undefined && suspicionKeyOf(last) === suspicionKeyOf(next);
    return isSame ? [...suspicions.slice(0, -1), mergeSuspicions(last, next)] : [...suspicions, next];
}

function chunksOf<Element>(elements: readonly Element[], size: number): Element[][] {
    return Array.from(
        { length: Math.ceil(elements.length / size) },
        (_, index) => elements.slice(index * size, (index + 1) * size),
    );
}
