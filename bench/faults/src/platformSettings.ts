/** Settings of the process that runs the platform's stand-ins, the engines and the plain services. */
export interface PlatformSettings {
    seed: number;
    keyValuePort: number;
    instanceListPort: number;
    enginePorts: number[];
    servicePorts: number[];
    model: string;
}
