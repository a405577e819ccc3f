/** A place in the weight store's rate. */
export interface WeightLoadReservation {
    reservationId: string;
    /** When the transfer may begin, from now. */
    waitMs: number;
    /** How long the transfer takes at the store's rate. */
    transferMs: number;
}
