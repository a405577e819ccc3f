/** A route for batch jobs. */
export interface JobRoute {
    /** The first segment of the paths of the route. */
    name: string;
    dueMs: number;
    retentionMs: number;
}
