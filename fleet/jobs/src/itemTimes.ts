/** How long an item takes and how long it may take. */
export interface ItemTimes {
    /** Expected time until it is done if it runs from now on at the service's mean speed, in milliseconds. */
    remainingMs: number;
    /** Time until it is due, in milliseconds; negative if it is late. */
    leftMs: number;
}
