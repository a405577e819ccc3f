/** A reserved transfer from the weight store. */
export interface WeightLoadReservation {
    reservationId: string;
    /** Time until the transfer may begin, in milliseconds. */
    waitMs: number;
    /** Duration of the transfer at the store's rate, in milliseconds. */
    transferMs: number;
}
