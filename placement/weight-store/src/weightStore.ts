import type { WeightLoadRequest } from "./weightLoadRequest.js";
import type { WeightLoadReservation } from "./weightLoadReservation.js";

/**
 * The platform's store of model weights. Its rate is shared by all instances, so a load is reserved first.
 *
 * Methods throw `WEIGHT_STORE_UNAVAILABLE`, with outcome `not-run` where nothing was reserved, `unknown` otherwise.
 */
export interface WeightStore {
    /** Reserves the transfer of one model's weights. */
    requestLoad(request: WeightLoadRequest): Promise<WeightLoadReservation>;
    /** Gives back a reservation whose transfer has not ended. Has no effect where it has. */
    cancelLoad(reservationId: string): Promise<void>;
}
