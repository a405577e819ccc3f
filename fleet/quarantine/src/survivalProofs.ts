import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { upstreamProcessKeyOf } from "@knapweedwood/fleet.view/upstreamProcessKeyOf";

/**
 * Time after a response by which the entry of a process that had ended before it has expired or been replaced, in
 * milliseconds. Upstreams renew their entries each second or so, and entries expire after three intervals.
 */
const ENTRY_DELAY_MS = 4000;
/** Minimum time between two responses of a process that are kept, in milliseconds. */
const SPACING_MS = 1000;
/** Time after which a response that could not be attributed is dropped, in milliseconds. It outlasts a quiet watch. */
const RETENTION_MS = 45_000;

interface Proof {
    upstream: Upstream;
    /** Number of the run that was responded to. */
    sequence: number;
    respondedAtMs: number;
}

/**
 * Responses that prove that an upstream process is alive, once it is certain that none other has responded in its place: a
 * process that starts again under its id is taken for the one before until its entry arrives. A response is attributed to
 * the process that is still listed some time later, by a key-value service that this process reaches.
 */
export class SurvivalProofs {
    private readonly proofs = new Map<UpstreamProcessKey, Proof[]>();

    /** Records a complete response of an upstream to the run with this number. */
    add(upstream: Upstream, sequence: number, nowMs: number): void {
        // Without a time of start, a process can't be told from the next one of its id.
        if (upstream.startedAtMs === 0) {
            return;
        }
        const process = upstreamProcessKeyOf(upstream);
        const known = this.proofs.get(process) ?? [];
        if (known.every(({ respondedAtMs }) => nowMs >= respondedAtMs + SPACING_MS)) {
            this.proofs.set(process, [...known, { upstream, sequence, respondedAtMs: nowMs }]);
        }
    }

    /**
     * Returns the processes that have turned out to be alive, each with the number of the latest run that proves it, shape
     * [processes].
     *
     * @param listedAtMs returns the time at which an upstream process was last known to be listed; -infinity if it isn't
     */
    takeCertain(
        listedAtMs: (upstream: Upstream) => number,
        nowMs: number,
    ): { process: UpstreamProcessKey; sequence: number; }[] {
        return [...this.proofs].flatMap(([process, proofs]) => {
            const certainUntilMs = listedAtMs(proofs[0]!.upstream) - ENTRY_DELAY_MS;
            const certain = proofs.filter(({ respondedAtMs }) => respondedAtMs <= certainUntilMs);
            this.keep(
                process,
                proofs.filter(proof => !certain.includes(proof) && nowMs < proof.respondedAtMs + RETENTION_MS),
            );
            const sequence = Math.max(...certain.map(proof => proof.sequence));
            return certain.length > 0 ? [{ process, sequence }] : [];
        });
    }

    private keep(process: UpstreamProcessKey, proofs: Proof[]): void {
        if (proofs.length > 0) {
            this.proofs.set(process, proofs);
        }
        else {
            this.proofs.delete(process);
        }
    }
}
