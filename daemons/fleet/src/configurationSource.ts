/** Origin of a configuration that a process didn't read from the key-value service. */
export interface ConfigurationSource {
    /** `peer` for a runner, `disk` for what an earlier start of this process stored. */
    kind: "peer" | "disk";
    /** Host of the runner, or the name of this instance. */
    name: string;
}
