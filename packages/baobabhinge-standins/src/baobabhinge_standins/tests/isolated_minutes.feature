@long
Feature: A region that is cut off for minutes keeps serving

  Scenario: Two minutes, and a gateway is killed and started again meanwhile
    Given a region with three gateways and callers, cut off from everything else
    When callers complete and confirm for 120 seconds, and west-gateway-2 is killed and started again half way
    Then every completion was whole
    And each trade ran as its caller was told
    And every caller went on in every tenth of the time
    When the region is healed and the settings are published again
    Then every gateway has the new generation
