Feature: Engines run what the settings say, whoever held the lease

  Scenario: The holder is frozen past its lease, thaws, and an old order comes late
    Given a region whose engines refuse or ignore old fencing numbers
    And every engine has loaded version v1 under one lease
    When the holder of the lease is frozen
    And settings with version v2 are published
    Then every engine has loaded version v2 under a later lease
    When an order of the frozen holder for version v1 arrives at every engine
    Then the engine that minds numbers has refused it and the other has not
    And every engine has loaded version v2 under a later lease
    When the frozen holder is thawed
    Then every engine has loaded version v2 under a later lease
    And the thawed holder has given no order
    And the client directory names both gateways
