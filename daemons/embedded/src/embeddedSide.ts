import type { SideProcess } from "@knapweedwood/daemons.side/sideProcess";

/** A side of an embedded deployment. */
export interface EmbeddedSide {
    process: SideProcess;
    instanceId: string;
    isStopped: boolean;
}
