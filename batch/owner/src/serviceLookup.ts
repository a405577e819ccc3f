import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { ServiceView } from "./serviceView.js";

/** Finds the services of the configuration in force. Undefined where there is none, or the team may not call it. */
export interface ServiceLookup {
    /** Whether a configuration is in force; no item is read before. */
    isReady(): boolean;
    findByModel(model: ModelName, teamId: TeamId): ServiceView | undefined;
    findByName(name: ServiceName, teamId: TeamId): ServiceView | undefined;
}
