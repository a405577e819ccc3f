import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { ServiceView } from "./serviceView.js";

/** Finds services of the active configuration. Returns undefined if there is none or the team may not call it. */
export interface ServiceLookup {
    /** Returns whether a configuration is active; no items are read before. */
    isReady(): boolean;
    findByModel(model: ModelName, teamId: TeamId): ServiceView | undefined;
    findByName(name: ServiceName, teamId: TeamId): ServiceView | undefined;
}
