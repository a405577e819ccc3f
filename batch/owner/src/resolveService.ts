import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { InputLine } from "./inputLine.js";
import type { ServiceLookup } from "./serviceLookup.js";
import type { ServiceView } from "./serviceView.js";

const SERVICE_URL = /^\/services\/([^/]+)/u;

/**
 * Returns the service that an item calls: the one named in its URL, or the one that provides its model. Returns
 * undefined if there is none or the team may not call it.
 */
export function resolveService(lookup: ServiceLookup, line: InputLine, teamId: TeamId): ServiceView | undefined {
    const name = SERVICE_URL.exec(line.url)?.[1];
    if (name !== undefined) {
        return lookup.findByName(decodeURIComponent(name) as ServiceName, teamId);
    }
    const { model } = line.body;
    return typeof model === "string" ? lookup.findByModel(model as ModelName, teamId) : undefined;
}
