/** How often requests of one marker were started, finished and cancelled. */
export interface RequestCounts {
    started: number;
    finished: number;
    cancelled: number;
}
