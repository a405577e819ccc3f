/** Settings of the process that runs the platform's stand-ins. */
export interface PlatformSettings {
    keyValuePort: number;
    instanceListPort: number;
}
