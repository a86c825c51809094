Feature: A region that is cut off from everything keeps serving

  Scenario: Cut off, restarted while cut off, healed
    Given west is cut off from the store, the list of vms and east
    Then west serves these calls through west-gateway-1 by itself
      | path                  | body                                        |
      | /v1/completions       | {"model":"llm","prompt":"a","max_tokens":4} |
      | /services/ledger/cut  | none                                        |
    When west-gateway-2 is killed and started again
    Then west-gateway-2 becomes ready
    And west serves these calls through west-gateway-2 by itself
      | path                  | body                                        |
      | /v1/completions       | {"model":"llm","prompt":"b","max_tokens":4} |
      | /services/ledger/new  | none                                        |
    And west-gateway-1 offers west-gateway-1 and west-gateway-2
    When the links are healed and the settings are published again
    Then every gateway has the new generation
    And west-gateway-1 offers east-gateway-1
