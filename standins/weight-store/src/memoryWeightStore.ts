import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { WeightLoadRequest } from "@knapweedwood/placement.weight-store/weightLoadRequest";
import type { WeightLoadReservation } from "@knapweedwood/placement.weight-store/weightLoadReservation";
import type { WeightStore } from "@knapweedwood/placement.weight-store/weightStore";

const DEFAULT_BYTES_PER_S = 1_000_000_000;
const MS_PER_S = 1000;

interface Transfer {
    reservationId: string;
    startMs: number;
    endMs: number;
}

/** An in-memory weight store that schedules transfers one after the other, at a fixed rate. */
export class MemoryWeightStore implements WeightStore {
    /** While true, calls reject with `WEIGHT_STORE_UNAVAILABLE`. */
    outage = false;
    /** Rate of new transfers, in bytes per second. The owner can change it at any time. */
    bytesPerS: number;
    private readonly clock: Clock;
    private transfers: Transfer[] = [];
    private reservationCount = 0;

    constructor(opts: { clock: Clock; bytesPerS?: number; }) {
        this.clock = opts.clock;
        this.bytesPerS = opts.bytesPerS ?? DEFAULT_BYTES_PER_S;
    }

    async requestLoad(request: WeightLoadRequest): Promise<WeightLoadReservation> {
        this.throwIfUnavailable();
        const nowMs = this.clock.nowMs();
        this.transfers = this.transfers.filter(transfer => transfer.endMs > nowMs);
        const startMs = this.transfers.reduce((latestMs, transfer) => Math.max(latestMs, transfer.endMs), nowMs);
        const transferMs = request.sizeBytes / this.bytesPerS * MS_PER_S;
        this.reservationCount += 1;
        const reservationId = String(this.reservationCount);
        this.transfers.push({ reservationId, startMs, endMs: startMs + transferMs });
        return { reservationId, waitMs: startMs - nowMs, transferMs };
    }

    /** Cancels a transfer, or ends it now if it has started. Later transfers keep their start times. */
    async cancelLoad(reservationId: string): Promise<void> {
        this.throwIfUnavailable();
        const nowMs = this.clock.nowMs();
        this.transfers = this.transfers.flatMap(transfer => {
            if (transfer.reservationId !== reservationId) {
                return [transfer];
            }
            return transfer.startMs < nowMs ? [{ ...transfer, endMs: Math.min(transfer.endMs, nowMs) }] : [];
        });
    }

    private throwIfUnavailable(): void {
        if (this.outage) {
            throw new KnapweedError("WEIGHT_STORE_UNAVAILABLE", "The weight store is unavailable.", {
                outcome: "not-run",
            });
        }
    }
}
