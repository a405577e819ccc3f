/** Settings of the pass-through process. */
export interface PassThroughSettings {
    port: number;
    /** Ports of the engines, called in turn, shape [engines]. */
    enginePorts: number[];
}
