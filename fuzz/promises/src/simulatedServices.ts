import type { ServiceLookup } from "@knapweedwood/batch.owner/serviceLookup";
import type { ServiceView } from "@knapweedwood/batch.owner/serviceView";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

const chat: ServiceView = { name: "chat" as ServiceName, kind: "model-engine", repeatable: true };
const ledger: ServiceView = { name: "ledger" as ServiceName, kind: "plain", repeatable: false };

/** Looks up the services of the simulation: calls to `chat` may be repeated, calls to `ledger` may not. */
export const simulatedServices: ServiceLookup = {
    isReady: () => true,
    findByModel: model => model === "demo" ? chat : undefined,
    findByName: name => name === ledger.name ? ledger : undefined,
};
