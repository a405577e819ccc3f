/** Numbers of requests with the same marker that were started, finished and cancelled. */
export interface RequestCounts {
    started: number;
    finished: number;
    cancelled: number;
}
