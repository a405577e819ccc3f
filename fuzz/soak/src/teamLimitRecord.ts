/** The limit of the limited team from a version of the configuration on. */
export interface TeamLimitRecord {
    version: number;
    team: string;
    ratePerS: number;
    burst: number;
}
