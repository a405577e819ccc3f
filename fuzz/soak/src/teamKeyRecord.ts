/** A key of a team, with the versions of the configuration that contain it. */
export interface TeamKeyRecord {
    key: string;
    team: string;
    fromVersion: number;
    /** The first version without the key; undefined while the key is valid. */
    untilVersion: number | undefined;
}
