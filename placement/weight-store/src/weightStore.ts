import type { WeightLoadRequest } from "./weightLoadRequest.js";
import type { WeightLoadReservation } from "./weightLoadReservation.js";

/**
 * The platform's store of model weights. All instances share its transfer rate, so each transfer is reserved first.
 *
 * Methods reject with `WEIGHT_STORE_UNAVAILABLE`. Its outcome is `not-run` if nothing was reserved, and `unknown`
 * otherwise.
 */
export interface WeightStore {
    /** Reserves a transfer of the weights of one model version. */
    requestLoad(request: WeightLoadRequest): Promise<WeightLoadReservation>;
    /** Cancels a reservation. Has no effect if its transfer has ended. */
    cancelLoad(reservationId: string): Promise<void>;
}
