import type { ServiceLookup } from "@knapweedwood/batch.owner/serviceLookup";
import type { ServiceView } from "@knapweedwood/batch.owner/serviceView";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

const chat: ServiceView = { name: "chat" as ServiceName, kind: "model-engine", repeatable: true };
const ledger: ServiceView = { name: "ledger" as ServiceName, kind: "plain", repeatable: false };

/** The services of the simulation: `chat` may be repeated, `ledger` may not. */
export const simulatedServices: ServiceLookup = {
    isReady: () => true,
    findByModel: model => model === "demo" ? chat : undefined,
    findByName: name => name === ledger.name ? ledger : undefined,
};
