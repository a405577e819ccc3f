import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { ModelVersion } from "@knapweedwood/core.ids/modelVersion";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { ConfigurationChange } from "../src/configurationChange.js";

/** Creates changes for tests. */
export const sampleRecords = {
    team: (teamId: string, weight = 1): ConfigurationChange => ({
        kind: "put",
        record: { kind: "team", team: { teamId: teamId as TeamId, displayName: teamId, weight, limits: {} } },
    }),
    service: (name: string, team: string): ConfigurationChange => ({
        kind: "put",
        record: {
            kind: "service",
            service: {
                name: name as ServiceName,
                team: team as TeamId,
                kind: "model-engine",
                models: [{ name: `${name}-model` as ModelName, version: "1" as ModelVersion, adapters: [] }],
                roles: ["any"],
                replicas: 1,
                repeatable: true,
                checksFencing: true,
                limits: {},
                deadlineMs: 1000,
                batchDueMs: 1000,
                batchBalance: 0.5,
                tokenGapObjectiveMs: 63,
            },
        },
    }),
};
