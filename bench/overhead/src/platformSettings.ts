/** Settings of the process that carries the platform's stand-ins. */
export interface PlatformSettings {
    keyValuePort: number;
    instanceListPort: number;
}
