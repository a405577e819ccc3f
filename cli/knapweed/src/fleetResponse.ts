/** Response of the operators' API about the fleet: its instances and upstreams. */
export interface FleetResponse {
    revision: number;
    instances: {
        instanceId: string;
        kind: string;
        zone: string;
        state: string;
        address: string;
        service?: string;
        linkState?: string;
    }[];
    upstreams: {
        instanceId: string;
        service: string;
        zone: string;
        state: string;
        isHealthy: boolean;
        models: string[];
        onlineRunning: number;
        onlineQueued: number;
        batchRunning: number;
        batchQueued: number;
    }[];
}
