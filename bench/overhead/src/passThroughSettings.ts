/** Settings of the pass-through. */
export interface PassThroughSettings {
    port: number;
    /** Ports of the engines, called in turn, shape [engines]. */
    enginePorts: number[];
}
